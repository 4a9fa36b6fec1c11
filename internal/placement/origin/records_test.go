package origin_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/origin"
)

const retention = 20 * time.Second

func at(service, software string) origin.Origin {
	return origin.Origin{Service: service, Software: software, Upstream: "u", StartedMillis: 1}
}

func stream(workspace, id string) origin.Stream { return origin.Stream{Workspace: workspace, ID: id} }

// Guards against a stream that goes on at the wrong version because its record was taken from another stream's.
func TestRecordBelongsToOneStream(t *testing.T) {
	long := strings.Repeat("x", 1000)
	for _, c := range []struct {
		name  string
		added []origin.Record
		asked origin.Stream
		// found: there is a record. The software is empty if it is unknown all the same.
		found    bool
		software string
	}{
		{"recorded", []origin.Record{{Stream: stream("w", "1"), Origin: at("s", "v1")}}, stream("w", "1"), true, "v1"},
		{"another id", []origin.Record{{Stream: stream("w", "1"), Origin: at("s", "v1")}}, stream("w", "2"), false, ""},
		{"of another workspace", []origin.Record{{Stream: stream("w", "1"), Origin: at("s", "v1")}}, stream("v", "1"), false, ""},
		{"no id", []origin.Record{{Stream: stream("w", ""), Origin: at("s", "v1")}}, stream("w", ""), false, ""},
		{"an id that is too long", []origin.Record{{Stream: stream("w", long), Origin: at("s", "v1")}}, stream("w", long), false, ""},
		{"bytes that are no text", []origin.Record{{Stream: stream("w", "\xff"), Origin: at("s", "v1")}}, stream("w", "\xff"), false, ""},
		{"recorded twice", []origin.Record{
			{Stream: stream("w", "1"), Origin: at("s", "v1")}, {Stream: stream("w", "1"), Origin: at("s", "v1")},
		}, stream("w", "1"), true, "v1"},
		{"one id for two streams", []origin.Record{
			{Stream: stream("w", "1"), Origin: at("s", "v1")}, {Stream: stream("w", "1"), Origin: at("s", "v2")},
		}, stream("w", "1"), true, ""},
		{"one id for two streams, and a copy", []origin.Record{
			{Stream: stream("w", "1"), Origin: at("s", "v1")},
			{Stream: stream("w", "1"), Origin: at("s", "v2")},
			{Stream: stream("w", "1"), Origin: at("s", "v1")},
		}, stream("w", "1"), true, ""},
		{"one id at two services", []origin.Record{
			{Stream: stream("w", "1"), Origin: at("s", "v1")}, {Stream: stream("w", "1"), Origin: at("t", "v1")},
		}, stream("w", "1"), true, ""},
		{"a version that is unknown", []origin.Record{{Stream: stream("w", "1"), Origin: at("s", "")}}, stream("w", "1"), true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			records := &origin.Records{Retention: retention}
			for _, record := range c.added {
				records.Add(time.Now(), record)
			}
			found, ok := records.Find(time.Now(), c.asked)
			is.Equal(ok, c.found)
			is.Equal(found.Origin.Software, c.software)
		})
	}
}

// Guards against records that are gone while callers may still come back, and against memory that grows with the requests.
func TestRecordsAreKeptForTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		records := &origin.Records{Retention: retention}
		records.Add(time.Now(), origin.Record{Stream: stream("w", "old"), Origin: at("s", "v1")})
		time.Sleep(retention - time.Second)
		records.Add(time.Now(), origin.Record{Stream: stream("w", "young"), Origin: at("s", "v1"), Age: time.Second})
		found, ok := records.Find(time.Now(), stream("w", "old"))
		is.True(ok)
		is.Equal(found.Age, retention-time.Second)
		found, ok = records.Find(time.Now(), stream("w", "young"))
		is.True(ok)
		is.Equal(found.Age, time.Second)
		time.Sleep(retention - 2*time.Second)
		_, ok = records.Find(time.Now(), stream("w", "young"))
		is.True(ok)
		time.Sleep(2 * retention)
		_, ok = records.Find(time.Now(), stream("w", "old"))
		is.True(!ok)
		_, ok = records.Find(time.Now(), stream("w", "young"))
		is.True(!ok)
	})
}

// Guards against a flood of streams that takes the memory of an instance.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	const added, most = 50_000, 40_000
	records := &origin.Records{Retention: retention}
	for number := range added {
		records.AddOwn(time.Now(), stream("w", fmt.Sprint(number)), at("s", "v1"))
	}
	kept := 0
	for number := range added {
		if _, ok := records.Find(time.Now(), stream("w", fmt.Sprint(number))); ok {
			kept++
		}
	}
	is.True(kept <= most)
	is.True(kept >= most/2)
	_, ok := records.Find(time.Now(), stream("w", fmt.Sprint(added-1)))
	is.True(ok)
	is.True(len(records.TakeUnsent(time.Now(), "s")) <= most)
}

// Guards against a stream whose record no other instance has, because the service had one version only when it began.
func TestRecordsAreTakenOnceWhileTheyMatter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		records := &origin.Records{Retention: retention}
		records.AddOwn(time.Now(), stream("w", "1"), at("s", "v1"))
		time.Sleep(retention / 2)
		records.AddOwn(time.Now(), stream("w", "2"), at("s", "v1"))
		records.AddOwn(time.Now(), stream("w", "3"), at("t", "v1"))
		records.Add(time.Now(), origin.Record{Stream: stream("w", "of a peer"), Origin: at("s", "v1")})
		time.Sleep(retention/2 + time.Second)
		is.Equal(len(records.UnsentServices()), 2)
		is.Equal(records.TakeUnsent(time.Now(), "s"), []origin.Record{
			{Stream: stream("w", "2"), Origin: at("s", "v1"), Age: retention/2 + time.Second},
		})
		is.Equal(len(records.TakeUnsent(time.Now(), "s")), 0)
		is.Equal(records.UnsentServices(), []string{"t"})
	})
}

// Guards against records while no route has streams that can be taken up.
func TestNothingIsRecordedWithoutResumableStreams(t *testing.T) {
	is := is.New(t)
	records := &origin.Records{}
	records.AddOwn(time.Now(), stream("w", "1"), at("s", "v1"))
	_, ok := records.Find(time.Now(), stream("w", "1"))
	is.True(!ok)
	is.Equal(len(records.UnsentServices()), 0)
}

// Guards against an instance that stops and hands over records that nobody needs any more, or misses some.
func TestAllRecordsThatMatterAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		records := &origin.Records{Retention: retention}
		records.Add(time.Now(), origin.Record{Stream: stream("w", "old"), Origin: at("s", "v1")})
		time.Sleep(retention / 2)
		records.AddOwn(time.Now(), stream("w", "own"), at("s", "v1"))
		time.Sleep(retention/2 + time.Second)
		records.Add(time.Now(), origin.Record{Stream: stream("w", "young"), Origin: at("t", "v2")})
		listed := map[string]time.Duration{}
		for _, record := range records.All(time.Now()) {
			listed[record.Stream.ID] = record.Age
		}
		is.Equal(listed, map[string]time.Duration{"own": retention/2 + time.Second, "young": 0})
	})
}

// BenchmarkRecords measures the time and the memory of one record.
func BenchmarkRecords(b *testing.B) {
	b.ReportAllocs()
	records := &origin.Records{Retention: time.Hour}
	for number := 0; b.Loop(); number++ {
		records.AddOwn(time.Now(), stream("workspace", fmt.Sprintf("%016x", number)), at("service", "v1.1"))
	}
}
