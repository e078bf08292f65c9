// Package rendezvous orders names by rendezvous hashing for both programs: processes
// that know the same names make the same choice without communicating.
package rendezvous

import "hash/fnv"

// Weight returns the weight of a name for a key. Some users of the package choose the
// names with the highest weights, others those with the lowest. Each key orders the
// names differently, and removing a name does not change the order of the others.
func Weight(key, name string) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))

	return Mix(h.Sum64())
}

// Mix is the 64-bit finalizer of MurmurHash3. Without it the FNV-1a hashes of names that
// differ only in the last character are close to each other.
func Mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53

	return x ^ x>>33
}
