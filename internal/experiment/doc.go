// Package experiment replays named load patterns against placement policies in virtual time.
// Entries use the product's own placement decisions, upstream tables and prefix cache views; the
// engines are a model that batches, prefills in chunks, caches blocks of prompts and refuses
// requests when full.
//
// The model leaves out the memory of running requests (only slots limit them) and with it
// preemption, transfers of cache contents between engines, connections, and the processor time
// of entries.
package experiment
