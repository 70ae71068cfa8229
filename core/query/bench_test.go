package query_test

import (
	"fmt"
	"testing"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// BenchmarkQuery measures a whole search whose owners each reply with one message. Each shard
// returns 10 sorted hits, and the answer is limited to 20.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{20, 60} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			d := newDriver(1, newView(shards, 1))
			hits := make([][]model.Hit, shards)
			for i := range hits {
				for j := range 10 {
					hits[i] = append(hits[i], model.Hit{Document: fmt.Sprintf("doc-%d-%d", i, j), Score: 10/float64(1+j) + float64(i%7)})
				}
			}
			replies := make([]model.SubReply, 0, shards)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				var out effect.List
				r := model.Request{Query: model.QueryID(i), Route: testRoute, Limit: 20}
				d.table.Request(event.RequestReceived{Request: r}, 0, &out)
				answered := false
				for _, e := range out.Take() {
					m := e.(effect.SendSubRequests)
					replies = replies[:0]
					for j, r := range m.Requests {
						replies = append(replies, model.SubReply{
							Query: r.Query, Run: r.Run, Key: r.Key, Snapshot: 5, Oldest: 4, Newest: 5, Attempts: 1, Hits: hits[j],
						})
					}
					d.table.Replies(event.SubRepliesReceived{From: m.To, Replies: replies}, 0, &out)
					answered = len(out.Take()) == 1
				}
				if !answered {
					b.Fatal("query was not answered")
				}
			}
		})
	}
}
