package moves

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// TestWarmupQueries guards against latencies that count as evidence before every replica of
// a shard has left its cold start.
func TestWarmupQueries(t *testing.T) {
	shard := func(replicas int) model.ShardConfig {
		return model.ShardConfig{Replicas: make([]model.BackendServer, replicas)}
	}
	for _, c := range []struct {
		name      string
		warmAfter int
		shards    []model.ShardConfig
		want      uint64
	}{
		{"no shards", 50, nil, 0},
		{"two replicas", 50, []model.ShardConfig{shard(2), shard(2)}, 100},
		{"the shard with most replicas counts", 50, []model.ShardConfig{shard(1), shard(3)}, 150},
		{"no cold start", 0, []model.ShardConfig{shard(2)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := model.VersionConfig{Shards: c.shards, Limits: model.Limits{WarmAfter: c.warmAfter}}
			is.New(t).Equal(warmupQueries(&v), c.want)
		})
	}
}
