// Package settings reads the static settings of one instance from TOML. What
// may change while an instance runs stands in the two lists instead.
package settings

import (
	"time"
)

// Settings are the static settings of an instance.
type Settings struct {
	// Instance names this instance, unique within the data centre.
	Instance   string `toml:"instance"`
	DataCentre string `toml:"data_centre"`
	// Size is this machine's capacity relative to the others'; 1 is usual.
	Size float64 `toml:"size"`
	// DataFolder holds bulk data; empty on an instance without a disk.
	DataFolder string    `toml:"data_folder"`
	Listen     Listen    `toml:"listen"`
	Store      Store     `toml:"store"`
	Peers      Peers     `toml:"peers"`
	Callers    Callers   `toml:"callers"`
	Operators  Operators `toml:"operators"`
	Programs   Programs  `toml:"programs"`
	Placement  Placement `toml:"placement"`
	Shutdown   Shutdown  `toml:"shutdown"`
	Log        Log       `toml:"log"`
}

// Listen gives the addresses, host:port with an IP number, that an instance serves.
type Listen struct {
	Callers string `toml:"callers"`
	Peers   string `toml:"peers"`
}

// Store says how to reach the platform's object API.
type Store struct {
	// URL has scheme and host only.
	URL     string   `toml:"url"`
	Timeout Duration `toml:"timeout"`
	// ReadsPerSecond and WritesPerSecond are this instance's share of the platform's rates.
	ReadsPerSecond  float64 `toml:"reads_per_second"`
	WritesPerSecond float64 `toml:"writes_per_second"`
}

// Peers says how instances reach each other.
type Peers struct {
	// Seeds are peer addresses to try first; the store's list completes them.
	Seeds []string `toml:"seeds"`
	// Secret authenticates instances to each other; at least 16 characters.
	Secret    string   `toml:"secret"`
	Timeout   Duration `toml:"timeout"`
	Heartbeat Duration `toml:"heartbeat"`
	// ProbeTimeout bounds one heartbeat.
	ProbeTimeout Duration `toml:"probe_timeout"`
	// SuspectTimeout is the least time between suspicion of an instance and
	// its take-over; LoneTimeout replaces it where no other witness exists.
	SuspectTimeout Duration `toml:"suspect_timeout"`
	LoneTimeout    Duration `toml:"lone_timeout"`
}

// Callers bounds what callers may send.
type Callers struct {
	MaxBodyBytes   int64    `toml:"max_body_bytes"`
	MaxHeaderBytes int      `toml:"max_header_bytes"`
	ReadTimeout    Duration `toml:"read_timeout"`
	IdleTimeout    Duration `toml:"idle_timeout"`
	MaxRequests    int      `toml:"max_requests"`
	// DefaultDeadline bounds a step whose caller gives no deadline.
	DefaultDeadline Duration `toml:"default_deadline"`
}

// Operators says who may use the operators' endpoints.
type Operators struct {
	// KeyHash is the SHA-256 sum, in hex, of the operators' bearer key.
	// Empty closes the operators' endpoints.
	KeyHash string `toml:"key_hash"`
}

// Programs bounds what is kept for programs.
type Programs struct {
	// GapWait is how long a step waits for an earlier one that is missing.
	GapWait Duration `toml:"gap_wait"`
	// IdleExpiry ends a program that has had no step for so long.
	IdleExpiry Duration `toml:"idle_expiry"`
	// TakeOverGrace is how long an instance is known to be dead before its
	// programs are taken over.
	TakeOverGrace Duration `toml:"take_over_grace"`
}

// Placement says how calls are placed.
type Placement struct {
	// Policy is "cost" or one of the baselines kept for comparison.
	Policy string `toml:"policy"`
	// QueueLimit is the number of steps that may wait for one model or service.
	QueueLimit int `toml:"queue_limit"`
	// Ways gives for other data centres the time of the way there and back.
	DataCentreRTT map[string]Duration `toml:"ways"`
}

// Shutdown bounds a planned stop.
type Shutdown struct {
	Grace Duration `toml:"grace"`
}

// Log says how to log.
type Log struct {
	// Format is "text" or "json"; Level is "debug", "info", "warn" or "error".
	Format string `toml:"format"`
	Level  string `toml:"level"`
}

// Duration is a time.Duration that TOML writes as a string such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// Default returns the settings in force where a file says nothing.
func Default() Settings {
	return Settings{
		Size:  1,
		Store: Store{Timeout: seconds(2), ReadsPerSecond: 50, WritesPerSecond: 25},
		Peers: Peers{
			Timeout:        seconds(1),
			Heartbeat:      seconds(1),
			ProbeTimeout:   Duration(500 * time.Millisecond),
			SuspectTimeout: seconds(5),
			LoneTimeout:    seconds(30),
		},
		Callers: Callers{
			MaxBodyBytes:    4 << 20,
			MaxHeaderBytes:  32 << 10,
			ReadTimeout:     seconds(30),
			IdleTimeout:     seconds(120),
			MaxRequests:     4096,
			DefaultDeadline: seconds(300),
		},
		Programs:  Programs{GapWait: Duration(250 * time.Millisecond), IdleExpiry: Duration(2 * time.Hour), TakeOverGrace: seconds(5)},
		Placement: Placement{Policy: "cost", QueueLimit: 4096},
		Shutdown:  Shutdown{Grace: seconds(30)},
		Log:       Log{Format: "text", Level: "info"},
	}
}

func seconds(n int) Duration { return Duration(time.Duration(n) * time.Second) }
