package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// withSoftware declares an upstream with a software version.
func withSoftware(p *pool.Pool, name, software string) {
	declare(p, name, func(u *traffic.Upstream) { u.Software = software })
}

// resumed is a query for the rest of a stream.
func resumed(software string) pool.Query {
	query := generation("a")
	query.Software = software
	return query
}

// Guards against a stream that goes on at another software version because its own is busy, lacks the adapter, is leaving or
// is gone.
func TestResumedStreamIsPlacedWithinItsSoftware(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(p *pool.Pool)
		// chosen is the upstream of the version v1 that is chosen, empty for none.
		chosen string
	}{
		{"both idle", func(*pool.Pool) {}, "e1"},
		{"the adapter is loaded at the other version", func(p *pool.Pool) { resident(p, "e2", "a") }, "e1"},
		{"one of two is leaving", func(p *pool.Pool) {
			withSoftware(p, "e3", "v1")
			declare(p, "e3", func(u *traffic.Upstream) { u.Software, u.Draining = "v1", true })
		}, "e1"},
		{"all of the version are gone", func(p *pool.Pool) { p.Remove(time.Now(), "e1") }, ""},
		{"only one of unknown version is left", func(p *pool.Pool) {
			p.Remove(time.Now(), "e1")
			withSoftware(p, "e3", "")
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPool()
				withSoftware(p, "e1", "v1")
				withSoftware(p, "e2", "v2")
				c.change(p)
				choice, err := p.Choose(time.Now(), resumed("v1"))
				is.Equal(err != nil, c.chosen == "")
				is.Equal(choice.Upstream.ID, c.chosen)
			})
		})
	}
}

// Guards against a request that is sent to an upstream whose entry has another software version since it was chosen.
func TestChoiceIsInvalidAfterAChangeOfSoftware(t *testing.T) {
	is := is.New(t)
	p := newPool()
	withSoftware(p, "e1", "v1")
	choice, err := p.Choose(time.Now(), resumed("v1"))
	is.NoErr(err)
	is.True(p.IsChoiceValid(time.Now(), choice.Upstream))
	withSoftware(p, "e1", "v2")
	is.True(!p.IsChoiceValid(time.Now(), choice.Upstream))
}

// Guards against the caller of a stream that is told to come back at once, because upstreams of another version take
// requests while those of its own have asked for a pause.
func TestPauseCountsWithinTheSoftware(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool()
		withSoftware(p, "e1", "v1")
		withSoftware(p, "e2", "v2")
		p.RecordBackpressure(time.Now(), upstreamOf(is, p, "e1"), 2*time.Second)
		is.Equal(p.RetryAfterBackpressure(time.Now(), resumed("v2")), time.Duration(0))
		is.True(p.RetryAfterBackpressure(time.Now(), resumed("v1")) >= 2*time.Second)
	})
}

const (
	streamLifetime = 20 * time.Second
	// historyNeeded is the time within which callers resume a stream that broke.
	historyNeeded = 5 * time.Second
)

// Guards against a stream whose record is missing and that goes on at the only version that serves now, although another
// one may have begun it, and against one that goes on nowhere although only one version can have begun it.
func TestSoftwareIsProvenByItsHistory(t *testing.T) {
	sole := func(length time.Duration) pool.SoleSoftware {
		return pool.SoleSoftware{Service: engines, Software: "v1", For: length}
	}
	for _, c := range []struct {
		name string
		// history happens after the first upstream of v1 was declared.
		history func(p *pool.Pool)
		proven  bool
	}{
		{"one version for long", func(*pool.Pool) { time.Sleep(streamLifetime) }, true},
		{"one version, known for a moment", func(*pool.Pool) { time.Sleep(historyNeeded / 2) }, false},
		{"one version, known for less than a stream may last", func(*pool.Pool) { time.Sleep(streamLifetime - time.Second) }, false},
		{"one version, known for a moment, and the store has no other", func(p *pool.Pool) {
			p.RecordStoredSoftware(time.Now(), pool.SoftwareVersions{Service: engines, Versions: []string{"v1"}})
		}, true},
		{"the store has a version that is gone", func(p *pool.Pool) {
			p.RecordStoredSoftware(time.Now(), pool.SoftwareVersions{Service: engines, Versions: []string{"v1", "v2"}})
			time.Sleep(streamLifetime - time.Second)
		}, false},
		{"the store has a version that is long gone", func(p *pool.Pool) {
			p.RecordStoredSoftware(time.Now(), pool.SoftwareVersions{Service: engines, Versions: []string{"v1", "v2"}})
			time.Sleep(streamLifetime + time.Second)
		}, true},
		{"the store has another version only", func(p *pool.Pool) {
			p.RecordStoredSoftware(time.Now(), pool.SoftwareVersions{Service: engines, Versions: []string{"v2"}})
		}, false},
		{"the record in the store is lost", func(p *pool.Pool) {
			p.RecordStoredSoftware(time.Now(), pool.SoftwareVersions{Service: engines, Versions: []string{"v1"}})
			p.RecordStoredSoftware(time.Now(), pool.SoftwareVersions{Service: engines})
		}, false},
		{"the store has no other, but may lack one", func(p *pool.Pool) {
			p.RecordStoredSoftware(time.Now(), pool.SoftwareVersions{Service: engines, Versions: []string{"v1"}, Partial: true})
			time.Sleep(streamLifetime - time.Second)
		}, false},
		{"the store has an unknown version", func(p *pool.Pool) {
			p.RecordStoredSoftware(time.Now(), pool.SoftwareVersions{Service: engines, Versions: []string{"", "v1"}})
		}, false},
		{"a second version serves", func(p *pool.Pool) {
			time.Sleep(streamLifetime)
			withSoftware(p, "e2", "v2")
		}, false},
		{"a second version has just gone", func(p *pool.Pool) {
			withSoftware(p, "e2", "v2")
			time.Sleep(streamLifetime)
			p.Remove(time.Now(), "e2")
			time.Sleep(streamLifetime - time.Second)
		}, false},
		{"a second version is long gone", func(p *pool.Pool) {
			withSoftware(p, "e2", "v2")
			p.Remove(time.Now(), "e2")
			time.Sleep(streamLifetime + time.Second)
		}, true},
		{"a second version was replaced in place", func(p *pool.Pool) {
			withSoftware(p, "e2", "v2")
			time.Sleep(streamLifetime)
			withSoftware(p, "e2", "v1")
			time.Sleep(streamLifetime - time.Second)
		}, false},
		{"an unknown version serves beside it", func(p *pool.Pool) {
			withSoftware(p, "e2", "")
			time.Sleep(streamLifetime)
		}, false},
		{"another service has another version", func(p *pool.Pool) {
			withSoftware(p, "s2", "v2")
			time.Sleep(streamLifetime)
		}, true},
		{"its streams share a route with another service's", func(p *pool.Pool) {
			p.RecordSharedServices(time.Now(), traffic.SharedServices{Split: map[string]bool{engines: true}})
			time.Sleep(2 * streamLifetime)
		}, false},
		{"its streams shared a route", func(p *pool.Pool) {
			p.RecordSharedServices(time.Now(), traffic.SharedServices{Split: map[string]bool{engines: true}})
			p.RecordSharedServices(time.Now(), traffic.SharedServices{Moved: map[string]bool{engines: true}})
			time.Sleep(streamLifetime)
		}, true},
		{"a route has just moved", func(p *pool.Pool) {
			time.Sleep(streamLifetime)
			p.RecordSharedServices(time.Now(), traffic.SharedServices{Moved: map[string]bool{engines: true}})
			time.Sleep(streamLifetime - time.Second)
		}, false},
		{"known for a moment, and proved by a peer", func(p *pool.Pool) {
			time.Sleep(time.Second)
			p.AdoptSoftware(time.Now(), sole(streamLifetime))
		}, true},
		{"known for a moment, and a peer knows it for a moment", func(p *pool.Pool) {
			time.Sleep(time.Second)
			p.AdoptSoftware(time.Now(), sole(historyNeeded/2))
		}, false},
		{"a peer states another version", func(p *pool.Pool) {
			p.AdoptSoftware(time.Now(), pool.SoleSoftware{Service: engines, Software: "v2", For: time.Hour})
		}, false},
		{"a peer states it while two versions serve", func(p *pool.Pool) {
			withSoftware(p, "e2", "v2")
			p.AdoptSoftware(time.Now(), sole(time.Hour))
			p.Remove(time.Now(), "e2")
			time.Sleep(streamLifetime - time.Second)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPool()
				p.Settings.StreamLifetime = streamLifetime
				withSoftware(p, "e1", "v1")
				c.history(p)
				proof, proven := p.SoleSoftware(time.Now(), engines)
				is.Equal(proven, c.proven)
				if proven {
					is.Equal(proof.Software, "v1")
					is.True(proof.For >= historyNeeded)
				}
			})
		})
	}
}

// Guards against a proof by an instance that knows no upstream of the service, or none of known version.
func TestNothingIsProvenOfUnknownSoftware(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool()
		p.Settings.StreamLifetime = streamLifetime
		withSoftware(p, "e1", "")
		time.Sleep(2 * streamLifetime)
		_, proven := p.SoleSoftware(time.Now(), engines)
		is.True(!proven)
		_, proven = p.SoleSoftware(time.Now(), services)
		is.True(!proven)
	})
}

// Guards against a stream that counts as begun at the version that an upstream had before it started again in place.
func TestOriginIsDoubtfulAroundARestartInPlace(t *testing.T) {
	for _, c := range []struct {
		name string
		// age is the time from the first event until the entry of the next life arrives; negative if the entry came first.
		age      time.Duration
		next     func(*traffic.Upstream)
		doubtful bool
	}{
		{"the entry follows at once", time.Second, func(u *traffic.Upstream) { u.Software, u.StartedMillis = "v2", 2 }, true},
		{"the entry came before", -time.Second, func(u *traffic.Upstream) { u.Software, u.StartedMillis = "v2", 2 }, true},
		{"the stream is old", 10 * time.Second, func(u *traffic.Upstream) { u.Software, u.StartedMillis = "v2", 2 }, false},
		{"the same version", time.Second, func(u *traffic.Upstream) { u.Software, u.StartedMillis = "v1", 2 }, false},
		{"the same life", time.Second, func(u *traffic.Upstream) { u.Software, u.StartedMillis = "v1", 1 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPool()
				withSoftware(p, "e1", "v1")
				time.Sleep(time.Minute)
				record := origin.Record{Origin: origin.Origin{Service: engines, Software: "v1", Upstream: "e1", StartedMillis: 1}}
				is.True(!p.IsOriginDoubtful(time.Now(), record))
				time.Sleep(max(c.age, 0))
				declare(p, "e1", c.next)
				time.Sleep(max(-c.age, 0) + 5*time.Second)
				record.Age = c.age + max(-c.age, 0) + 5*time.Second
				if c.age < 0 {
					record.Age = 5 * time.Second
				}
				is.Equal(p.IsOriginDoubtful(time.Now(), record), c.doubtful)
			})
		})
	}
}

// Guards against streams that begin or go on at an upstream that has crashed and started again in place with another
// version, as long as its entry is that of the life before.
func TestUpstreamIsOfUnknownSoftwareAfterACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool()
		withSoftware(p, "e1", "v1")
		is.Equal(p.Software(time.Now(), upstreamOf(is, p, "e1")), "v1")
		crashed := upstreamOf(is, p, "e1")
		p.RecordCrash(time.Now(), crashed)
		time.Sleep(2 * time.Second) // longer than nothing is sent to an upstream that has crashed
		is.Equal(p.Software(time.Now(), upstreamOf(is, p, "e1")), "")
		_, err := p.Choose(time.Now(), resumed("v1"))
		is.True(err != nil)
		_, err = p.Choose(time.Now(), generation("a")) // new streams may begin there
		is.NoErr(err)
		declare(p, "e1", func(u *traffic.Upstream) { u.Software, u.StartedMillis = "v1", 2 })
		p.RecordCrash(time.Now(), crashed) // the verdict on the life before comes late
		is.Equal(p.Software(time.Now(), upstreamOf(is, p, "e1")), "v1")
		choice, err := p.Choose(time.Now(), resumed("v1"))
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e1")
	})
}

// Guards against a record in the store that lacks a version and still proves something: it is partial until an instance has seen
// the upstreams for the time of a stream, and a version stays in it for as long after it has gone.
func TestRecordOfSoftwareHasAllVersionsOfAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool()
		p.Settings.StreamLifetime = streamLifetime
		partial := true
		due := func() (versions [][]string) {
			for _, record := range p.UnstoredSoftware(time.Now()) {
				is.Equal(record.Service, engines)
				is.Equal(record.Partial, partial)
				p.RecordStoredSoftware(time.Now(), record)
				versions = append(versions, record.Versions)
			}
			return versions
		}
		withSoftware(p, "e1", "v1")
		is.Equal(due(), nil) // the instances of a fleet that starts do not know each other yet
		time.Sleep(time.Second)
		is.Equal(due(), [][]string{{"v1"}})
		_, known := p.SoleSoftware(time.Now(), engines)
		is.True(!known)
		time.Sleep(streamLifetime - 2*time.Second)
		is.Equal(due(), nil)
		_, known = p.SoleSoftware(time.Now(), engines)
		is.True(!known)
		time.Sleep(time.Second)
		partial = false
		is.Equal(due(), [][]string{{"v1"}})
		is.Equal(due(), nil)
		withSoftware(p, "e2", "v2")
		is.Equal(due(), [][]string{{"v1", "v2"}})
		p.Remove(time.Now(), "e1")
		time.Sleep(streamLifetime - time.Second)
		is.Equal(due(), nil)
		time.Sleep(2 * time.Second)
		is.Equal(due(), [][]string{{"v2"}})
	})
}

// Guards against a stream that goes on at the service which its route was moved to, at an instance that has started since: it has not
// seen the move, and the record in the store says that the service has had one version only.
func TestRecordOfSoftwareProvesNothingAfterAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		before := newPool()
		before.Settings.StreamLifetime = streamLifetime
		withSoftware(before, "e1", "v1")
		time.Sleep(streamLifetime)
		store := func(to ...*pool.Pool) (written int) {
			for _, record := range before.UnstoredSoftware(time.Now()) {
				for _, p := range append(to, before) {
					p.RecordStoredSoftware(time.Now(), record)
				}
				written++
			}
			return written
		}
		is.Equal(store(), 1)
		before.RecordSharedServices(time.Now(), traffic.SharedServices{Moved: map[string]bool{engines: true}})
		started := newPool()
		started.Settings.StreamLifetime = streamLifetime
		withSoftware(started, "e1", "v1")
		is.Equal(store(started), 1)
		_, known := started.SoleSoftware(time.Now(), engines)
		is.True(!known)
		time.Sleep(streamLifetime - time.Millisecond)
		is.Equal(store(started), 0)
		_, known = started.SoleSoftware(time.Now(), engines)
		is.True(!known)
		time.Sleep(time.Millisecond)
		is.Equal(store(started), 1)
		_, known = started.SoleSoftware(time.Now(), engines)
		is.True(known)
		next := newPool()
		next.Settings.StreamLifetime = streamLifetime
		withSoftware(next, "e1", "v1")
		next.RecordStoredSoftware(time.Now(), pool.SoftwareVersions{Service: engines, Versions: []string{"v1"}, StreamLifetime: streamLifetime})
		_, known = next.SoleSoftware(time.Now(), engines)
		is.True(known)
	})
}
