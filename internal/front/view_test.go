package front

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
)

func newRegistration(id string, startMillis int64, phase realm.Phase) realm.Upstream {
	return realm.Upstream{Instance: realm.Instance{ID: id, StartMillis: startMillis}, Service: "s", Phase: phase}
}

// viewWith returns a view with an update that applies to it.
func viewWith(t *testing.T, v *View, now time.Time, update realm.Update) *View {
	t.Helper()
	next, err := v.With(now, update)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// A view never goes back: an older update changes nothing, nor does an older configuration in a newer update.
func TestViewNeverGoesBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := viewWith(t, &View{}, now, realm.Update{Index: 10, Config: &route.Config{Version: 7}})
	is.Equal(v.Table.Config.Version, uint64(7))
	is.Equal(viewWith(t, v, now, realm.Update{Index: 9, Config: &route.Config{Version: 9}}), v)
	v = viewWith(t, v, now, realm.Update{Index: 11, Config: &route.Config{Version: 6}})
	is.Equal(v.Table.Config.Version, uint64(7))
}

// A key has an owner only while the owner's instance is the registered one and the range is active. A draining owner
// serves its keys for a second at most, while they move.
func TestOwner(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	owner := realm.Instance{ID: "a", StartMillis: 1}
	ranges := func(active bool) map[string]realm.Ranges {
		return map[string]realm.Ranges{"s": {{KeyRange: realm.AllKeys, Owner: owner, FencingToken: 3, Active: active}}}
	}
	v := viewWith(t, &View{}, now, realm.Update{Index: 1, Upstreams: []realm.Upstream{newRegistration("a", 1, realm.Ready)}, Ranges: ranges(false)})
	_, _, ok := v.Owner(now, "s", 7)
	is.True(!ok) // the range is not active yet
	v = viewWith(t, v, now, realm.Update{Index: 2, Ranges: ranges(true)})
	u, token, ok := v.Owner(now, "s", 7)
	is.True(ok)
	is.Equal(u.Instance, owner)
	is.Equal(token, uint64(3))
	leaving := viewWith(t, v, now, realm.Update{Index: 3, Upstreams: []realm.Upstream{newRegistration("a", 1, realm.Draining)}})
	_, _, ok = leaving.Owner(now.Add(drainingGrace-time.Millisecond), "s", 7)
	is.True(ok)
	_, _, ok = leaving.Owner(now.Add(drainingGrace), "s", 7)
	is.True(!ok)
	restarted := viewWith(t, v, now, realm.Update{Index: 4, Upstreams: []realm.Upstream{newRegistration("a", 2, realm.Ready)}})
	_, _, ok = restarted.Owner(now, "s", 7)
	is.True(!ok) // another instance
	ready, lost := restarted.Usable("s")
	is.Equal(len(ready), 1)
	is.Equal(len(lost), 0)
}

// An owner that reports not to own its keys is sent requests again after a back-off, which grows each time. Under
// another fencing token there is no back-off.
func TestMissingKeysBackoff(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	u := newUpstream(newRegistration("a", 1, realm.Ready))
	u.recordMissingKeys(now, 5)
	is.Equal(u.missingKeysBackoff(now, 5), minMissingBackoff)
	is.Equal(u.missingKeysBackoff(now, 6), time.Duration(0))
	u.recordMissingKeys(now, 5) // a request that was sent at the same time as the first
	is.Equal(u.missingKeysBackoff(now, 5), minMissingBackoff)
	for range 10 {
		now = now.Add(u.missingKeysBackoff(now, 5))
		u.recordMissingKeys(now, 5)
	}
	is.Equal(u.missingKeysBackoff(now, 5), maxMissingBackoff)
}

// A change that applies to another configuration changes nothing, so that the host asks for the whole state.
func TestChangeOfAnotherConfigIsRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := viewWith(t, &View{}, now, realm.Update{Index: 1, Config: &route.Config{Version: 3}})
	same, err := v.With(now, realm.Update{Index: 2, ConfigChange: &route.Change{From: 2, Version: 4}})
	is.True(errors.Is(err, realm.ErrOtherConfig))
	is.Equal(same, v)
	is.Equal(viewWith(t, v, now, realm.Update{Index: 2, ConfigChange: &route.Change{From: 3, Version: 4}}).Table.Config.Version, uint64(4))
}
