package front

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
)

// A move and the loss of an owner look alike at first; only the time that the keys have been without an owner tells
// them apart. That time must stay correct over many other changes, and for a host that has just begun to follow.
func TestOwnerlessFor(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	instance := realm.Instance{ID: "u", StartMillis: 1}
	newUpdate := func(active bool, index uint64) realm.Update {
		return realm.Update{Index: index, Ranges: map[string]realm.Ranges{
			"s": {{KeyRange: realm.AllKeys, Owner: instance, Active: active, Changed: index}},
		}}
	}
	view := viewWith(t, &View{}, now, realm.Update{Index: 5, Upstreams: []realm.Upstream{{Instance: instance, Service: "s", Changed: 5}}})
	is.Equal(view.OwnerlessFor(now.Add(time.Second), "s", 1), time.Second) // nobody owns it
	view = viewWith(t, view, now, newUpdate(true, 6))
	_, _, ok := view.Owner(now, "s", 1)
	is.True(ok)
	view = viewWith(t, view, now, newUpdate(false, 7))
	is.Equal(view.OwnerlessFor(now.Add(100*time.Millisecond), "s", 1), 100*time.Millisecond)
	for i := range uint64(2 * maxIndexTimes) {
		view = viewWith(t, view, now.Add(time.Duration(i)*time.Second), realm.Update{Index: 8 + i})
	}
	is.True(view.OwnerlessFor(now.Add(maxIndexTimes*time.Second), "s", 1) > time.Hour) // long ago
	is.True(len(view.indexTimes) <= maxIndexTimes)

	gone := realm.Upstream{Instance: instance, Service: "s", Phase: realm.Gone, Changed: 9}
	goneView := viewWith(t, viewWith(t, &View{}, now, newUpdate(true, 6)), now, realm.Update{Index: 9, Upstreams: []realm.Upstream{gone}})
	is.Equal(goneView.OwnerlessFor(now.Add(2*time.Second), "s", 1), 2*time.Second-drainingGrace)
	gone.Ended = true
	goneView = viewWith(t, goneView, now, realm.Update{Index: 10, Upstreams: []realm.Upstream{gone}})
	is.Equal(goneView.OwnerlessFor(now.Add(2*time.Second), "s", 1), 2*time.Second)
}
