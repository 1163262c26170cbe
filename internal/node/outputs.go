package node

import (
	"foxhall/internal/output"
	"foxhall/internal/output/outputpb"
)

var _ output.Peers = (*fleet)(nil)

// Outputs implements output.Peers.
func (f *fleet) Outputs(instance string) (outputpb.Outputs, bool) {
	m, ok := f.current.Load().members[instance]
	if !ok || !f.isReachable(instance) {
		return nil, false
	}
	return outputpb.NewOutputsProtobufClient("http://"+f.settings.peerAddress(m.IP), f.client), true
}
