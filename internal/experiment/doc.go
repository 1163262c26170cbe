// Package experiment replays named load patterns against placement policies on
// virtual time: entries with the product's own decisions, tables and prefix views,
// before a model of engines that batch, prefill in chunks, cache prompts' blocks
// and refuse when full.
//
// The model leaves out: memory of running requests (only slots bound them) and with
// it preemption, moves of memory between engines, connections, and the processor
// time of entries.
package experiment
