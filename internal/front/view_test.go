package front

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
)

func known(id string, born int64, phase realm.Phase) realm.Upstream {
	return realm.Upstream{Instance: realm.Instance{ID: id, StartMillis: born}, Service: "s", Phase: phase}
}

// A view never goes back: an older update, and an older configuration in a newer one, change nothing.
func TestViewNeverGoesBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := (&View{}).With(now, realm.Update{Index: 10, Config: &route.Config{Version: 7}})
	is.Equal(v.Table.Config.Version, uint64(7))
	is.Equal(v.With(now, realm.Update{Index: 9, Config: &route.Config{Version: 9}}), v)
	v = v.With(now, realm.Update{Index: 11, Config: &route.Config{Version: 6}})
	is.Equal(v.Table.Config.Version, uint64(7))
}

// A key has an owner only while its life is the one that is registered and has taken the keys; one that leaves serves
// them for a second at most, while they move.
func TestOwner(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	owner := realm.Instance{ID: "a", StartMillis: 1}
	ranges := func(active bool) map[string]realm.Ranges {
		return map[string]realm.Ranges{"s": {{KeyRange: realm.AllKeys, Owner: owner, FencingToken: 3, Active: active}}}
	}
	v := (&View{}).With(now, realm.Update{Index: 1, Upstreams: []realm.Upstream{known("a", 1, realm.Ready)}, Ranges: ranges(false)})
	_, _, ok := v.Owner(now, "s", 7)
	is.True(!ok) // not taken yet
	v = v.With(now, realm.Update{Index: 2, Ranges: ranges(true)})
	u, fence, ok := v.Owner(now, "s", 7)
	is.True(ok)
	is.Equal(u.Instance, owner)
	is.Equal(fence, uint64(3))
	leaving := v.With(now, realm.Update{Index: 3, Upstreams: []realm.Upstream{known("a", 1, realm.Draining)}})
	_, _, ok = leaving.Owner(now.Add(leaverGrace-time.Millisecond), "s", 7)
	is.True(ok)
	_, _, ok = leaving.Owner(now.Add(leaverGrace), "s", 7)
	is.True(!ok)
	restarted := v.With(now, realm.Update{Index: 4, Upstreams: []realm.Upstream{known("a", 2, realm.Ready)}})
	_, _, ok = restarted.Owner(now, "s", 7)
	is.True(!ok) // another life
	ready, lost := restarted.Usable("s")
	is.Equal(len(ready), 1)
	is.Equal(len(lost), 0)
}

// An owner that lacks its keys is asked again after a while, later each time, and at once under another fence.
func TestLackingOwner(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	u := newUpstream(known("a", 1, realm.Ready))
	u.lack(now, 5)
	is.Equal(u.lacks(now, 5), firstLack)
	is.Equal(u.lacks(now, 6), time.Duration(0))
	u.lack(now, 5) // one that was sent at the same time
	is.Equal(u.lacks(now, 5), firstLack)
	for range 10 {
		now = now.Add(u.lacks(now, 5))
		u.lack(now, 5)
	}
	is.Equal(u.lacks(now, 5), longLack)
}
