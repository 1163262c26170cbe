package instance

import (
	"context"
	"slices"

	"foxhall/internal/peer"
	"foxhall/internal/peer/peerpb"
	"foxhall/internal/program"
)

// releaseEngineState releases what engines hold for a program that ended or expired.
func (i *Instance) releaseEngineState(id program.ID) { i.scheduler.EndProgram(string(id)) }

// living implements duty.Living. It asks the owners of programs which of them have ended.
type living struct{ instance *Instance }

// FindEnded implements duty.Living. A program whose owner can't be located or reached is not
// returned: a running program that was reported as ended would lose its cache.
func (l living) FindEnded(ctx context.Context, programs []string) ([]string, error) {
	var ended []string
	byAddress := map[string][]string{}
	for _, programID := range programs {
		id, err := program.ParseID(programID)
		if err != nil {
			continue
		}
		owner, err := directory(l).Locate(ctx, id)
		switch {
		case err != nil:
		case !owner.IsSelf:
			byAddress[owner.Address] = append(byAddress[owner.Address], programID)
		case l.instance.hasEnded(id):
			ended = append(ended, programID)
		}
	}
	for address, ids := range byAddress {
		response, err := l.instance.peers.Gone(ctx, address, &peerpb.GoneRequest{Programs: ids})
		if err != nil {
			continue
		}
		ended = append(ended, response.GetGone()...)
	}
	return ended, nil
}

// hasEnded reports whether a program that is owned here, or whose cohort is unknown, has ended. It
// returns false while the program's shard is being taken over.
func (i *Instance) hasEnded(id program.ID) bool {
	owner, err := i.ownership.Directory().Locate(context.Background(), id)
	if err == nil && owner.IsSelf && !i.ownership.Adopted(id) {
		return false
	}
	return !i.owner.Owns(id)
}

// programService serves peers' queries about the programs resident on this instance.
type programService struct{ instance *Instance }

var _ peer.Programs = programService{}

// Gone implements peer.Programs.
func (s programService) Gone(ctx context.Context, r *peerpb.GoneRequest) (*peerpb.GoneResponse, error) {
	response := &peerpb.GoneResponse{}
	for _, programID := range r.GetPrograms() {
		id, err := program.ParseID(programID)
		if err != nil {
			return nil, peer.Invalid("malformed program id")
		}
		owner, err := directory(s).Locate(ctx, id)
		if err == nil && owner.IsSelf && s.instance.hasEnded(id) {
			response.Gone = append(response.Gone, programID)
		}
	}
	slices.Sort(response.Gone)
	return response, nil
}
