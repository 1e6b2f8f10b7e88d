package ledger

// index maps keys to positions in a table. To save memory, it stores a 32-bit digest of each key, and the key itself only
// if its digest collides with another key's. The owner of the table passes a function that compares the key at a position.
type index[K comparable] struct {
	// byDigest holds the position of the first key that was added with each digest. The field colliding holds the
	// positions of all other keys.
	byDigest  map[uint32]uint32
	colliding map[K]uint32
}

// newIndex returns an index with memory preallocated for size keys.
func newIndex[K comparable](size int) index[K] {
	return index[K]{byDigest: make(map[uint32]uint32, size)}
}

// size returns the number of keys in the index.
func (x *index[K]) size() int { return len(x.byDigest) + len(x.colliding) }

// find returns the position of a key and whether the index has it. The isAt function reports whether the table has the
// key at a position.
func (x *index[K]) find(key K, digest uint32, isAt func(position uint32, key K) bool) (uint32, bool) {
	if position, ok := x.byDigest[digest]; ok && isAt(position, key) {
		return position, true
	}
	if len(x.colliding) == 0 {
		return 0, false
	}
	position, ok := x.colliding[key]
	return position, ok
}

// add adds a key, which must not be in the index yet.
func (x *index[K]) add(key K, digest, position uint32) {
	if _, taken := x.byDigest[digest]; taken {
		if x.colliding == nil {
			x.colliding = make(map[K]uint32)
		}
		x.colliding[key] = position
		return
	}
	if x.byDigest == nil {
		x.byDigest = make(map[uint32]uint32)
	}
	x.byDigest[digest] = position
}

// remove removes a key if the index has it at the given position, and reports whether it did.
func (x *index[K]) remove(key K, digest, position uint32) bool {
	if found, ok := x.byDigest[digest]; ok && found == position {
		delete(x.byDigest, digest)
		return true
	}
	if found, ok := x.colliding[key]; ok && found == position {
		delete(x.colliding, key)
		return true
	}
	return false
}
