package gateway

import "foxhall/internal/routing"

// connectionLimit returns the number of connections that this instance may open to a replica.
func (f *inFlightCall) connectionLimit() int {
	return ConnectionLimit(f.service, f.gateway.settings.ConnectionShare)
}

// placementLimit returns the limit that the placement of the call observes; 0 for none.
func (f *inFlightCall) placementLimit() int {
	if f.service.MaxConnections == 0 {
		return 0
	}
	return f.connectionLimit()
}

// ConnectionLimit returns the number of connections that an instance with the share may open to a
// replica of the service.
func ConnectionLimit(service *routing.Service, share func(maxConnections int) int) int {
	if service.MaxConnections == 0 {
		return unlimitedConnections
	}
	return share(service.MaxConnections)
}

// unlimitedConnections is the connection limit for a service whose MaxConnections is 0.
const unlimitedConnections = 1 << 10
