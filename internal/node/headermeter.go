package node

import "bytes"

const (
	// freeHeaderBytes and freeHeaderLines are the header of a call that callerConnBytes covers. What
	// exceeds them counts in the memory budget of calls.
	freeHeaderBytes = 4 << 10
	freeHeaderLines = 64
	// headerBytesFactor and headerLineBytes are the memory that a header takes: its bytes as received and
	// as text, and for each line its place among the header's fields.
	headerBytesFactor = 2
	headerLineBytes   = 128
)

// headerMeter measures the header of a call as it arrives.
type headerMeter struct {
	bytes, lines int
	// lineBytes is the length so far of the line that is being received, and lineStart its first byte.
	lineBytes int
	lineStart byte
	// ended is set once the blank line after the header has arrived.
	ended bool
}

// add measures received bytes up to the end of the header.
func (m *headerMeter) add(received []byte) {
	for len(received) > 0 && !m.ended {
		line, rest, ends := bytes.Cut(received, []byte("\n"))
		if m.lineBytes == 0 && len(line) > 0 {
			m.lineStart = line[0]
		}
		m.bytes += len(received) - len(rest)
		m.lineBytes += len(line)
		received = rest
		if ends {
			m.ended = m.lineBytes == 0 || m.lineBytes == 1 && m.lineStart == '\r'
			m.lines++
			m.lineBytes = 0
		}
	}
}

// excess returns the memory in bytes that the header takes beyond the free part.
func (m *headerMeter) excess() int {
	return headerBytesFactor*max(0, m.bytes-freeHeaderBytes) + headerLineBytes*max(0, m.lines-freeHeaderLines)
}
