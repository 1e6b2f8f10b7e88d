package ledger

// index finds the position of a key by a digest of it. It keeps the key only if the digests of two keys
// collide; otherwise its owner tells which key lies at a position.
type index[K comparable] struct {
	// byDigest holds the position of the byDigest key of each digest, and colliding those of the others.
	byDigest  map[uint32]uint32
	colliding map[K]uint32
}

// newIndex returns an index with room for a number of keys.
func newIndex[K comparable](size int) index[K] {
	return index[K]{byDigest: make(map[uint32]uint32, size)}
}

// size returns the number of keys.
func (x *index[K]) size() int { return len(x.byDigest) + len(x.colliding) }

// find returns the position of a key; isAt reports whether a key lies at a position.
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

// add adds a key that the index doesn't have.
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

// remove removes a key and reports whether the index had it at the position.
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
