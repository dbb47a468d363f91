// Package engine simulates a model engine with continuous batching, KV memory in pieces,
// a prefix cache, KV export and import, resumable and cancellable streams, orders, and
// fault injection. It runs no model: a cost model determines how long operations sleep,
// and the output depends only on the model name and the prompt.
package engine

import (
	"time"

	"carawayrouter.example/router/internal/clock"
)

// Settings is the [engine] section of a simulated engine's settings file.
type Settings struct {
	Name            string        `ini:"name" default:"engine" doc:"name of the engine"`
	Role            string        `ini:"role" default:"decode" allowed:"prefill|decode" doc:"role until an order changes it"`
	Model           string        `ini:"model" default:"" doc:"model served; empty serves any"`
	Slots           int           `ini:"slots" default:"20" min:"1" doc:"maximum number of requests decoded concurrently"`
	Queue           int           `ini:"queue" default:"256" min:"1" doc:"maximum number of prefills waiting or running"`
	Pieces          int           `ini:"pieces" default:"256" min:"1" doc:"KV memory, in pieces of 2048 tokens"`
	TokenInterval   time.Duration `ini:"token_interval" default:"20ms" min:"10us" doc:"base duration of a decode step"`
	StepCost        time.Duration `ini:"step_cost_per_request" default:"500us" min:"0s" doc:"additional duration of a decode step per request in the batch"`
	PrefillPerPiece time.Duration `ini:"prefill_per_piece" default:"600ms" min:"0s" doc:"time to prefill one piece"`
	ResultTTL       time.Duration `ini:"result_ttl" default:"800ms" min:"1ms" doc:"lifetime of a prefill result"`
	OutputTTL       time.Duration `ini:"output_ttl" default:"5s" min:"0s" doc:"time for which a delivered output can be read again"`
	LinkRate        float64       `ini:"link_rate" default:"5e9" min:"1" doc:"bytes per second shared by all transfers of the engine"`
	KVBytesPerToken int           `ini:"kv_bytes_per_token" default:"160000" min:"1" doc:"size of the KV cache of one token, in bytes"`
	CachePieces     int           `ini:"cache_pieces" default:"128" min:"0" doc:"capacity of the prefix cache, in pieces"`
	LoadReportLag   time.Duration `ini:"load_report_lag" default:"500ms" min:"0s" doc:"age of load reports"`
	CacheEventDelay time.Duration `ini:"cache_event_delay" default:"300ms" min:"0s" doc:"delay of cache events"`
	CacheEventLoss  float64       `ini:"cache_event_loss" default:"0.02" min:"0" max:"1" doc:"fraction of cache events that are dropped"`
	Fencing         string        `ini:"fencing" default:"honour" allowed:"honour|ignore" doc:"whether orders with a stale epoch are refused"`
	Keepalive       time.Duration `ini:"keepalive" default:"500ms" min:"1ms" doc:"longest time between two lines of an event stream"`
	Seed            int           `ini:"seed" default:"1" doc:"seed of the random number generator"`
}

// DefaultSettings returns the defaults given in the tags of Settings.
func DefaultSettings() Settings {
	return Settings{
		Name: "engine", Role: "decode", Slots: 20, Queue: 256, Pieces: 256,
		TokenInterval: 20 * time.Millisecond, StepCost: 500 * time.Microsecond,
		PrefillPerPiece: 600 * time.Millisecond, ResultTTL: 800 * time.Millisecond,
		OutputTTL: 5 * time.Second, LinkRate: 5e9, KVBytesPerToken: 160_000, CachePieces: 128,
		LoadReportLag: 500 * time.Millisecond, CacheEventDelay: 300 * time.Millisecond,
		CacheEventLoss: 0.02, Fencing: "honour", Keepalive: 500 * time.Millisecond, Seed: 1,
	}
}

// Options configure a Server.
type Options struct {
	Settings Settings
	Clock    clock.Clock // clock.Real if nil
}
