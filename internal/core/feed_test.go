package core

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
)

// Followers at the same index get one encoded update, whose index does not depend on when they ask. A follower that has
// an earlier configuration gets the difference, and one without any gets all of it.
func TestFeedEncodesOnceForAllFollowers(t *testing.T) {
	is := is.New(t)
	store, f := realm.NewStore(), newFeed()
	index := uint64(0)
	accept := func(version uint64) {
		config := route.Config{Version: version, Services: []route.Service{{Name: "s"}}}
		for i := range 200 {
			config.Routes = append(config.Routes, route.Route{Name: "r", Host: "h", Prefix: "/" + string(rune('a'+i)) + "/"})
		}
		config.Routes[version].Rank = 7
		data, err := json.Marshal(realm.Command{AcceptConfig: &realm.AcceptConfig{Config: config}})
		is.NoErr(err)
		index++
		store.Apply(index, data)
	}
	accept(1)
	f.publish(store)
	first, err := f.since(0)
	is.NoErr(err)
	accept(2)
	same, err := f.since(0)
	is.NoErr(err)
	is.Equal(&same.Packed[0], &first.Packed[0]) // version 2 is not published yet
	update, err := first.decode()
	is.NoErr(err)
	is.Equal(update.Config.Version, uint64(1))
	f.publish(store)
	f.await(context.Background(), update.Index)
	next, err := f.since(update.Index)
	is.NoErr(err)
	change, err := next.decode()
	is.NoErr(err)
	is.True(change.Config == nil)
	is.Equal(change.ConfigChange.Version, uint64(2))
	is.Equal(len(change.ConfigChange.Set), 2)
	whole := f.wholeSince(update.Index) // for a follower of an earlier release
	is.True(whole.ConfigChange == nil)
	is.Equal(whole.Config.Version, uint64(2))
}

// An update is read in the form of this release and in that of the one before.
func TestFollowReplyForms(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{`{"in-touch":true,"update":{"index":7}}`, `{"in-touch":true,"encoded":{"plain":{"index":7}}}`} {
		var reply FollowReply
		is.NoErr(json.Unmarshal([]byte(text), &reply))
		update, err := reply.Decode()
		is.NoErr(err)
		is.Equal(update.Index, uint64(7))
	}
	_, err := FollowReply{}.Decode()
	is.True(errors.Is(err, errNoUpdate))
}
