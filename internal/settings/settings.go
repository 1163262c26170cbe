// Package settings reads an instance's static settings from TOML. What can change while an instance
// runs is configured in the lists of plans and usage instead.
package settings

import (
	"time"
)

// Settings are the static settings of an instance.
type Settings struct {
	// Instance is the name of this instance, which must be unique within the data centre.
	Instance   string `toml:"instance"`
	DataCentre string `toml:"data_centre"`
	// Size is this machine's capacity relative to other instances' machines, usually 1.
	Size float64 `toml:"size"`
	// DataFolder is the folder for bulk data, or empty on an instance without a disk.
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

// Listen contains the addresses, IP:PORT, on which an instance listens.
type Listen struct {
	Callers string `toml:"callers"`
	Peers   string `toml:"peers"`
}

// Store configures access to the platform's object API.
type Store struct {
	// URL consists of scheme and host only.
	URL     string   `toml:"url"`
	Timeout Duration `toml:"timeout"`
	// ReadsPerSecond and WritesPerSecond are this instance's share of the platform's rate limits.
	ReadsPerSecond  float64 `toml:"reads_per_second"`
	WritesPerSecond float64 `toml:"writes_per_second"`
}

// Peers configures the communication between instances.
type Peers struct {
	// Seeds are the peer addresses to contact first. The others come from the list in the store.
	Seeds []string `toml:"seeds"`
	// Secret authenticates instances to each other. It has at least 16 characters.
	Secret    string   `toml:"secret"`
	Timeout   Duration `toml:"timeout"`
	Heartbeat Duration `toml:"heartbeat"`
	// ProbeTimeout is the timeout of one heartbeat.
	ProbeTimeout Duration `toml:"probe_timeout"`
	// SuspectTimeout is the minimum time for which an instance is suspected before it is declared
	// dead and taken over. LoneTimeout applies instead if there is no other instance as a witness.
	SuspectTimeout Duration `toml:"suspect_timeout"`
	LoneTimeout    Duration `toml:"lone_timeout"`
}

// Callers contains the limits for callers' connections and requests.
type Callers struct {
	MaxBodyBytes   int64    `toml:"max_body_bytes"`
	MaxHeaderBytes int      `toml:"max_header_bytes"`
	ReadTimeout    Duration `toml:"read_timeout"`
	IdleTimeout    Duration `toml:"idle_timeout"`
	MaxRequests    int      `toml:"max_requests"`
	// DefaultDeadline is the time allowed for a step whose caller sets no deadline.
	DefaultDeadline Duration `toml:"default_deadline"`
}

// Operators configures access to the operators' endpoints.
type Operators struct {
	// KeyHash is the SHA-256 sum, in hex, of the operators' bearer key. If it is empty, the
	// operators' endpoints are disabled.
	KeyHash string `toml:"key_hash"`
}

// Programs contains the timeouts of programs and their steps.
type Programs struct {
	// GapWait is the maximum time that a step waits for an earlier step that has not
	// arrived.
	GapWait Duration `toml:"gap_wait"`
	// IdleExpiry is the time without steps after which a program is ended.
	IdleExpiry Duration `toml:"idle_expiry"`
	// TakeOverGrace is the time between the declaration that an instance is dead and the take-over
	// of its programs.
	TakeOverGrace Duration `toml:"take_over_grace"`
}

// Placement configures the placement of calls.
type Placement struct {
	// Policy is "cost" or one of the other Policies, which are baselines for comparison.
	Policy string `toml:"policy"`
	// QueueLimit is the maximum number of steps that wait for one model or service.
	QueueLimit int `toml:"queue_limit"`
	// DataCentreRTT maps the names of other data centres to the round-trip times to them.
	DataCentreRTT map[string]Duration `toml:"ways"`
}

// Shutdown configures a graceful stop.
type Shutdown struct {
	// Grace is the maximum time that a stopping instance waits for its steps in flight.
	Grace Duration `toml:"grace"`
}

// Log configures logging.
type Log struct {
	// Format is "text" or "json"; Level is "debug", "info", "warn" or "error".
	Format string `toml:"format"`
	Level  string `toml:"level"`
}

// Duration is a time.Duration that is written as a string such as "250ms" in TOML.
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

// Default returns the settings for the keys that a file does not set.
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
