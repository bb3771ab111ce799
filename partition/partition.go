// Package partition maps keys to partitions and partitions to the incarnations that may serve them.
package partition

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"

	"sapphiretray/member"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

const (
	// noMember is the value of an empty rank.
	noMember = 1<<16 - 1
	// maxIncarnations bounds the incarnations of a map, since their positions are below noMember.
	maxIncarnations = noMember
	// MaxPartitions bounds the partitions of one service.
	MaxPartitions = 1 << 22
)

// Map is an immutable partition map of one service. It takes about 10 bytes a partition.
type Map struct {
	service string
	version uint64
	// incarnations lists the incarnations that the entries refer to by position, and positions is its inverse.
	incarnations []member.Incarnation
	positions    map[member.Incarnation]uint16
	// epochs, ranks and previous hold the fields Epoch, Members and Previous of the entries by partition.
	epochs   []uint32
	ranks    [][MaxMembers]uint16
	previous map[int][]uint16
	// overrides holds the partitions of single keys by the hash of the key.
	overrides map[uint64]int
	// shift is the number of low bits of a hash that don't affect the partition.
	shift uint
}

// New returns a map at version 0 in which no partition has an owner. The number of partitions must be a power of two.
func New(service string, partitions int) (*Map, error) {
	if partitions < 1 || partitions > MaxPartitions || bits.OnesCount(uint(partitions)) != 1 {
		return nil, fmt.Errorf("service %s: %d partitions: want a power of two up to %d", service, partitions, MaxPartitions)
	}
	m := &Map{
		service:   service,
		positions: make(map[member.Incarnation]uint16),
		epochs:    make([]uint32, partitions),
		ranks:     make([][MaxMembers]uint16, partitions),
		previous:  make(map[int][]uint16),
		overrides: make(map[uint64]int),
		shift:     uint(64 - bits.TrailingZeros(uint(partitions))),
	}
	for p := range m.ranks {
		m.ranks[p] = [MaxMembers]uint16{noMember, noMember, noMember}
	}
	return m, nil
}

// Service returns the service's name.
func (m *Map) Service() string { return m.service }

// Version returns the map's version.
func (m *Map) Version() uint64 { return m.version }

// Partitions returns the number of partitions, including those that overrides create for single keys.
func (m *Map) Partitions() int { return len(m.ranks) }

// HashPartitions returns the number of partitions that keys are hashed to.
func (m *Map) HashPartitions() int { return 1 << (64 - m.shift) }

// Hash returns the hash that assigns a key to a partition, the 64-bit xxHash.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Partition returns the partition of a key. It doesn't allocate.
func (m *Map) Partition(key string) int {
	return m.PartitionOfHash(Hash(key))
}

// PartitionOfHash returns the partition of a key with the given hash.
func (m *Map) PartitionOfHash(hash uint64) int {
	if len(m.overrides) > 0 {
		if p, ok := m.overrides[hash]; ok {
			return p
		}
	}
	return int(hash >> m.shift)
}

// Owner returns the incarnation at rank 0 and false if there is none. It doesn't allocate.
func (m *Map) Owner(p int) (member.Incarnation, bool) { return m.Member(p, 0) }

// Member returns the incarnation at a rank and false if there is none. It doesn't allocate.
func (m *Map) Member(p, rank int) (member.Incarnation, bool) {
	if p < 0 || p >= len(m.ranks) || rank < 0 || rank >= MaxMembers || m.ranks[p][rank] == noMember {
		return member.Incarnation{}, false
	}
	return m.incarnations[m.ranks[p][rank]], true
}

// Incarnations returns the incarnations to which the results of Positions refer. It may contain incarnations that are no
// longer in any entry. The slice must not be changed.
func (m *Map) Incarnations() []member.Incarnation { return m.incarnations }

// Positions returns the members of a partition as indexes in Incarnations, owner first, and -1 for each empty rank, so that
// visiting all partitions needs no map look-up for each member. p must be below Partitions.
func (m *Map) Positions(p int) [MaxMembers]int {
	var positions [MaxMembers]int
	for rank, i := range m.ranks[p] {
		positions[rank] = int(i)
		if i == noMember {
			positions[rank] = -1
		}
	}
	return positions
}

// Epoch returns the epoch of a partition's entry. p must be below Partitions.
func (m *Map) Epoch(p int) uint64 { return uint64(m.epochs[p]) }

// Entry returns the entry of a partition. p must be below Partitions.
func (m *Map) Entry(p int) Entry {
	e := Entry{Epoch: uint64(m.epochs[p])}
	for _, i := range m.ranks[p] {
		if i != noMember {
			e.Members = append(e.Members, m.incarnations[i])
		}
	}
	for _, i := range m.previous[p] {
		e.Previous = append(e.Previous, m.incarnations[i])
	}
	return e
}

// Overrides returns the partitions of single keys by the hash of the key.
func (m *Map) Overrides() map[uint64]int { return maps.Clone(m.overrides) }

// Apply returns the map at a newer version with the moves made, or an error as Change does.
func (m *Map) Apply(version uint64, moves []Move) (*Map, error) {
	return m.Change(version, nil, moves)
}

// WithOverride returns the map at a newer version in which the key with the given hash has a partition of its own, with
// the members of the partition that it was in.
func (m *Map) WithOverride(version, hash uint64) (*Map, error) {
	return m.Change(version, []uint64{hash}, nil)
}

// Change returns the map at a newer version. It first gives each key with one of the hashes a partition of its own, as
// WithOverride does, numbered from Partitions upwards, and then makes the moves. It returns an error if the version or the
// epoch of a moved entry isn't newer, or if a limit is exceeded.
func (m *Map) Change(version uint64, overrides []uint64, moves []Move) (*Map, error) {
	if version <= m.version {
		return nil, fmt.Errorf("map %s: version %d is not newer than %d", m.service, version, m.version)
	}
	next := m.clone()
	next.version = version
	for _, hash := range overrides {
		if err := next.addOverride(hash); err != nil {
			return nil, err
		}
	}
	for _, move := range moves {
		if err := next.setEntry(move.Partition, move.Entry); err != nil {
			return nil, fmt.Errorf("map %s: partition %d: %w", m.service, move.Partition, err)
		}
	}
	return next, nil
}

// addOverride gives the key with the given hash a partition of its own, unless it has one already.
func (m *Map) addOverride(hash uint64) error {
	if _, ok := m.overrides[hash]; ok {
		return nil
	}
	if len(m.ranks) == MaxPartitions {
		return fmt.Errorf("map %s: no partition is left for an override", m.service)
	}
	old := m.PartitionOfHash(hash)
	p := len(m.ranks)
	m.epochs = append(m.epochs, m.epochs[old])
	m.ranks = append(m.ranks, m.ranks[old])
	if previous := m.previous[old]; len(previous) > 0 {
		m.previous[p] = slices.Clone(previous)
	}
	m.overrides[hash] = p
	return nil
}

func (m *Map) clone() *Map {
	next := *m
	next.incarnations = slices.Clone(m.incarnations)
	next.positions = maps.Clone(m.positions)
	next.epochs = slices.Clone(m.epochs)
	next.ranks = slices.Clone(m.ranks)
	next.previous = maps.Clone(m.previous)
	next.overrides = maps.Clone(m.overrides)
	return &next
}

// setEntry replaces the entry of a partition.
func (m *Map) setEntry(p int, e Entry) error {
	if p < 0 || p >= len(m.ranks) {
		return fmt.Errorf("want 0 to %d", len(m.ranks)-1)
	}
	if e.Epoch <= uint64(m.epochs[p]) {
		return fmt.Errorf("epoch %d is not newer than %d", e.Epoch, m.epochs[p])
	}
	if len(e.Members) > MaxMembers {
		return fmt.Errorf("%d members, want at most %d", len(e.Members), MaxMembers)
	}
	ranks := [MaxMembers]uint16{noMember, noMember, noMember}
	for rank, i := range e.Members {
		position, err := m.addIncarnation(i)
		if err != nil {
			return err
		}
		ranks[rank] = position
	}
	delete(m.previous, p)
	var previous []uint16
	for _, i := range e.Previous {
		position, err := m.addIncarnation(i)
		if err != nil {
			return err
		}
		previous = append(previous, position)
	}
	if len(previous) > 0 {
		m.previous[p] = previous
	}
	m.epochs[p] = uint32(e.Epoch)
	m.ranks[p] = ranks
	return nil
}

// addIncarnation returns the position of an incarnation in incarnations, to which it adds the incarnation if it's missing.
func (m *Map) addIncarnation(i member.Incarnation) (uint16, error) {
	if position, ok := m.positions[i]; ok {
		return position, nil
	}
	if len(m.incarnations) == maxIncarnations {
		m.compact()
	}
	if len(m.incarnations) == maxIncarnations {
		return 0, fmt.Errorf("more than %d incarnations", maxIncarnations)
	}
	position := uint16(len(m.incarnations))
	m.incarnations = append(m.incarnations, i)
	m.positions[i] = position
	return position, nil
}

// compact removes the incarnations that are in no entry, so that replaced instances don't use up the maxIncarnations positions.
func (m *Map) compact() {
	old := m.incarnations
	m.incarnations = nil
	m.positions = make(map[member.Incarnation]uint16)
	renumber := func(i uint16) uint16 {
		if i == noMember {
			return noMember
		}
		position, ok := m.positions[old[i]]
		if !ok {
			position = uint16(len(m.incarnations))
			m.incarnations = append(m.incarnations, old[i])
			m.positions[old[i]] = position
		}
		return position
	}
	for p := range m.ranks {
		for rank, i := range m.ranks[p] {
			m.ranks[p][rank] = renumber(i)
		}
	}
	for p, previous := range m.previous {
		renumbered := make([]uint16, len(previous))
		for n, i := range previous {
			renumbered[n] = renumber(i)
		}
		m.previous[p] = renumbered
	}
}

// Encode returns the map's snapshot.
func (m *Map) Encode() ([]byte, error) {
	s := &Snapshot{
		Service: m.service, Version: m.version, Epochs: m.epochs,
		Ranks:     make([]uint32, 0, len(m.ranks)*MaxMembers),
		Overrides: make(map[uint64]uint32, len(m.overrides)),
	}
	for _, i := range m.incarnations {
		s.Members = append(s.Members, i.String())
	}
	for _, ranks := range m.ranks {
		for _, i := range ranks {
			s.Ranks = append(s.Ranks, uint32(i))
		}
	}
	for _, p := range slices.Sorted(maps.Keys(m.previous)) {
		pending := &Pending{Partition: uint32(p)}
		for _, i := range m.previous[p] {
			pending.From = append(pending.From, uint32(i))
		}
		s.Pending = append(s.Pending, pending)
	}
	for hash, p := range m.overrides {
		s.Overrides[hash] = uint32(p)
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Decode is the inverse of Encode. It refuses snapshots that refer to unknown incarnations or partitions.
func Decode(encoded []byte) (*Map, error) {
	s := &Snapshot{}
	if err := proto.Unmarshal(encoded, s); err != nil {
		return nil, fmt.Errorf("map snapshot: %w", err)
	}
	if len(s.Epochs) < len(s.Overrides) || len(s.Ranks) != len(s.Epochs)*MaxMembers {
		return nil, fmt.Errorf("map snapshot: numbers of epochs (%d), ranks (%d) and overrides (%d) don't match",
			len(s.Epochs), len(s.Ranks), len(s.Overrides))
	}
	m, err := New(s.Service, len(s.Epochs)-len(s.Overrides))
	if err != nil {
		return nil, fmt.Errorf("map snapshot: %w", err)
	}
	m.version = s.Version
	m.epochs = append([]uint32(nil), s.Epochs...)
	if err := m.decodeEntries(s); err != nil {
		return nil, err
	}
	for hash, p := range s.Overrides {
		if int(p) >= len(s.Epochs) {
			return nil, fmt.Errorf("map snapshot: override refers to unknown partition %d", p)
		}
		m.overrides[hash] = int(p)
	}
	return m, nil
}

// decodeEntries reads the incarnations, the ranks and the previous incarnations of the partitions.
func (m *Map) decodeEntries(s *Snapshot) error {
	for _, text := range s.Members {
		i, err := member.ParseIncarnation(text)
		if err != nil {
			return fmt.Errorf("map snapshot: %w", err)
		}
		m.positions[i] = uint16(len(m.incarnations))
		m.incarnations = append(m.incarnations, i)
	}
	m.ranks = make([][MaxMembers]uint16, len(s.Epochs))
	for n, i := range s.Ranks {
		if i != noMember && int(i) >= len(m.incarnations) {
			return fmt.Errorf("map snapshot: rank refers to incarnation %d of %d", i, len(m.incarnations))
		}
		m.ranks[n/MaxMembers][n%MaxMembers] = uint16(i)
	}
	for _, pending := range s.Pending {
		for _, i := range pending.From {
			if int(i) >= len(m.incarnations) || int(pending.Partition) >= len(s.Epochs) {
				return fmt.Errorf("map snapshot: unknown previous incarnation %d or partition %d", i, pending.Partition)
			}
			p := int(pending.Partition)
			m.previous[p] = append(m.previous[p], uint16(i))
		}
	}
	return nil
}

// MayServe reports whether an incarnation may serve a partition, as one of the Members or Previous of its entry. It doesn't allocate.
func (m *Map) MayServe(p int, i member.Incarnation) bool {
	position, ok := m.positions[i]
	return ok && (slices.Contains(m.ranks[p][:], position) || slices.Contains(m.previous[p], position))
}
