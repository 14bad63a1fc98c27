package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/inifile"
)

// The sections of the settings file.
const (
	sectionMember    = "member"
	sectionListen    = "listen"
	sectionPlatform  = "platform"
	sectionPeers     = "peers"
	sectionOperator  = "operator"
	sectionLog       = "log"
	sectionLimits    = "limits"
	sectionScheduler = "scheduler"
)

var (
	sectionNames = []string{sectionMember, sectionListen, sectionPlatform, sectionPeers, sectionOperator, sectionLog, sectionLimits, sectionScheduler}
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Load reads a settings file. It returns the settings, or every fault in them, or an Error if the
// file cannot be read.
func Load(path string) (*Daemon, []cyclamendyke.Fault, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, newError("load", cyclamendyke.KindNotFound, err)
	}
	daemon, faults := Parse(filepath.Base(path), string(text))
	return daemon, faults, nil
}

// Parse parses the text of a settings file; name identifies the file in the faults.
func Parse(name, text string) (*Daemon, []cyclamendyke.Fault) {
	p := &parser{file: inifile.Parse(name, text)}
	if faults := p.file.Faults(); len(faults) > 0 {
		return nil, faults
	}
	daemon := p.parse()
	if faults := p.file.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return daemon, nil
}

type parser struct {
	file *inifile.File
}

func (p *parser) parse() *Daemon {
	daemon := &Daemon{
		Member:          p.parseMember(),
		Store:           p.parseStore(),
		VMList:          p.parseAddress(p.file.Section(sectionPlatform), "vm-list"),
		Peers:           p.parseAddresses(p.file.Section(sectionPeers), "seeds"),
		OperatorKeyHash: p.parseOperatorKeyHash(),
		Log:             p.parseLog(),
		Limits:          p.parseLimits(),
		Scheduler:       p.parseScheduler(),
	}
	for _, section := range p.file.Sections {
		if section.Name != "" || !slices.Contains(sectionNames, section.Kind) {
			p.file.AddFault(section.Line, section.Header(), "the settings know no such section, only %s", inifile.Join(sectionNames))
			continue
		}
		p.file.CheckUnknownKeys(section)
	}
	return daemon
}

func (p *parser) parseMember() cyclamendyke.Member {
	section := p.file.Section(sectionMember)
	listen := p.file.Section(sectionListen)
	member := cyclamendyke.Member{
		Name:   cyclamendyke.MemberName(p.parseName(section, "name")),
		Zone:   cyclamendyke.ZoneName(p.parseName(section, "zone")),
		Region: cyclamendyke.RegionName(p.parseName(section, "region")),
		Peer:   p.parseAddress(listen, "peer"),
		HTTP:   p.parseAddress(listen, "http"),
	}
	if member.Peer != "" && member.Peer == member.HTTP {
		p.file.AddKeyFault(listen, "http", "the same address as peer")
	}
	return member
}

func (p *parser) parseName(section *inifile.Section, key string) string {
	name := p.file.Required(section, key)
	if name != "" && !inifile.IsName(name) {
		p.file.AddKeyFault(section, key, "%q is no name in kebab-case of at most 63 characters", name)
	}
	return name
}

func (p *parser) parseAddress(section *inifile.Section, key string) string {
	address := p.file.Required(section, key)
	if address != "" {
		p.checkAddress(section, key, address)
	}
	return address
}

func (p *parser) parseAddresses(section *inifile.Section, key string) []string {
	addresses := inifile.List[string](p.file, section, key)
	for _, address := range addresses {
		p.checkAddress(section, key, address)
	}
	return addresses
}

func (p *parser) checkAddress(section *inifile.Section, key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		p.file.AddKeyFault(section, key, "%q is not an IP number and port, such as 10.0.0.7:7400", address)
	case parsed.Port() == 0:
		p.file.AddKeyFault(section, key, "%q has port 0, which nobody could reach", address)
	case parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast():
		p.file.AddKeyFault(section, key, "%q is not an address of one VM", address)
	}
}

func (p *parser) parseStore() []string {
	section := p.file.Section(sectionPlatform)
	addresses := p.parseAddresses(section, "store")
	if len(addresses) == 0 {
		p.file.AddKeyFault(section, "store", "the section [%s] needs this key", section.Header())
	}
	return addresses
}

func (p *parser) parseOperatorKeyHash() string {
	section := p.file.Section(sectionOperator)
	hash := p.file.Required(section, "key-hash")
	if hash != "" && !hashPattern.MatchString(hash) {
		p.file.AddKeyFault(section, "key-hash", "not a SHA-256 in lower-case hexadecimal")
	}
	return hash
}

func (p *parser) parseLog() Log {
	section := p.file.Section(sectionLog)
	return Log{
		Level:  inifile.OneOf(p.file, section, "level", LevelInfo, LevelDebug, LevelInfo, LevelWarn, LevelError),
		Format: inifile.OneOf(p.file, section, "format", FormatText, FormatText, FormatJSON, FormatLogfmt),
	}
}

func (p *parser) parseLimits() Limits {
	section := p.file.Section(sectionLimits)
	return Limits{
		RequestsInFlight:     p.file.Int(section, "requests-in-flight", 2_000, 1, 100_000),
		WaitingJobs:          p.file.Int(section, "waiting-jobs", 10_000, 1, 1_000_000),
		TimelineEvents:       p.file.Int(section, "timeline-events", 10_000, 100, 100_000),
		StoreWritesPerSecond: p.file.Int(section, "store-writes-per-second", 20, 1, 1_000),
		AnswerTimeout:        p.file.Duration(section, "answer-timeout", time.Hour, time.Second, 24*time.Hour),
		PeerTimeout:          p.file.Duration(section, "peer-timeout", 2*time.Second, 10*time.Millisecond, time.Minute),
		StoreTimeout:         p.file.Duration(section, "store-timeout", 2*time.Second, 10*time.Millisecond, time.Minute),
		StopTimeout:          p.file.Duration(section, "stop-timeout", time.Hour, time.Second, 24*time.Hour),
	}
}

func (p *parser) parseScheduler() Scheduler {
	section := p.file.Section(sectionScheduler)
	scheduler := Scheduler{
		StoreLease: p.file.Duration(section, "store-lease", 4*time.Second, 100*time.Millisecond, time.Minute),
		SessionTTL: p.file.Duration(section, "session", 26*time.Second, 200*time.Millisecond, 10*time.Minute),
		TaskTTL:    p.file.Duration(section, "task", time.Minute, 500*time.Millisecond, time.Hour),
		Hold:       p.file.Duration(section, "hold", 10*time.Second, 10*time.Millisecond, time.Minute),
	}
	if scheduler.StoreLease >= scheduler.SessionTTL {
		p.file.AddKeyFault(section, "store-lease", "%v is not below session, %v", scheduler.StoreLease, scheduler.SessionTTL)
	}
	if 2*scheduler.Hold > scheduler.SessionTTL {
		p.file.AddKeyFault(section, "hold", "%v is more than half of session, %v", scheduler.Hold, scheduler.SessionTTL)
	}
	if 2*scheduler.SessionTTL > scheduler.TaskTTL {
		p.file.AddKeyFault(section, "task", "%v is less than twice session, %v", scheduler.TaskTTL, scheduler.SessionTTL)
	}
	return scheduler
}
