package replicator

// Put applies a change to the copy of a table.
func (r *Replicator) Put(table string, h Change) {
	r.apply(r.tables[table], r.tables[table].copy.Apply, h)
}
