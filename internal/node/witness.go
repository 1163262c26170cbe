package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"foxhall/internal/history"
	"foxhall/internal/history/historypb"
)

const (
	// witnessesPerDataCentre is the number of entries in each data centre that are asked about a
	// keeper. One of them may be down itself.
	witnessesPerDataCentre = 2
	// witnessTimeout bounds the requests to witnesses: a few round trips and the scheduling delay
	// of a busy entry. Unreachable witnesses delay the result by all of it.
	witnessTimeout = 100 * time.Millisecond
)

// Hears implements historypb.Witness.
func (f *fleet) Hears(_ context.Context, r *historypb.HearsRequest) (*historypb.HearsResponse, error) {
	silent, known := f.isSilent(r.Keeper)
	return &historypb.HearsResponse{Known: known, Hears: !silent, DataCentre: f.settings.DataCentre}, nil
}

// QueryWitnesses implements history.Peers.
func (f *fleet) QueryWitnesses(ctx context.Context, keeper string) []history.Witness {
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
				f.logger.WithError(err).WithField("entry", m.Name).WithField("keeper", keeper).Debug("request to a witness failed; its report is left out")
				return
			}
			if !response.Known {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			witnesses = append(witnesses, history.Witness{DataCentre: response.DataCentre, HasContact: response.Hears})
		})
	}
	group.Wait()
	return witnesses
}

// witnesses returns up to witnessesPerDataCentre randomly chosen entries of each data centre.
func (f *fleet) witnesses() []member {
	others := slices.Clone(f.others())
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
