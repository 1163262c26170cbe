package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"foxhall/internal/history"
	"foxhall/internal/history/historypb"
)

const (
	// witnessesMost is the number of entries of a data centre that are asked about
	// a keeper: one of them may be down itself.
	witnessesPerDataCentre = 2
	// witnessTime bounds the question: a few ways, and the turn of a busy entry.
	// All wait for those that are cut off.
	witnessTimeout = 100 * time.Millisecond
)

// Hears implements historypb.Witness.
func (f *fleet) Hears(_ context.Context, r *historypb.HearsRequest) (*historypb.HearsResponse, error) {
	silent, known := f.isSilent(r.Keeper)
	return &historypb.HearsResponse{Known: known, Hears: !silent, DataCentre: f.settings.DataCentre}, nil
}

// Witnesses implements history.Peers.
func (f *fleet) Witnesses(ctx context.Context, keeper string) []history.Witness {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	var mu sync.Mutex
	var witnesses []history.Witness
	var group sync.WaitGroup
	for _, m := range f.witnesses() {
		group.Go(func() {
			client := historypb.NewWitnessProtobufClient("http://"+f.settings.peerAddress(m.IP), f.client)
			response, err := client.Hears(ctx, &historypb.HearsRequest{Keeper: keeper})
			if err != nil {
				f.logger.WithError(err).WithField("entry", m.Name).WithField("keeper", keeper).Debug("entry not asked about a keeper")
				return
			}
			if !response.Known {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			witnesses = append(witnesses, history.Witness{DataCentre: response.DataCentre, HearsKeeper: response.Hears})
		})
	}
	group.Wait()
	return witnesses
}

// witnesses returns some entries of each data centre.
func (f *fleet) witnesses() []member {
	others := f.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	chosen := map[string]int{}
	var entries []member
	for _, m := range others {
		if m.Entry && chosen[m.DataCentre] < witnessesPerDataCentre {
			chosen[m.DataCentre]++
			entries = append(entries, m)
		}
	}
	return entries
}
