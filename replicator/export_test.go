package replicator

// Put applies a change to the copy of a table.
func (r *Replicator) Put(table string, h Change) {
	k := r.tables[table]
	r.apply(k, h, k.copy.Apply)
}
