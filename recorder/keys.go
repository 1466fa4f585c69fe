package recorder

import "fmt"

// HeadsKey is the key of the heads row.
const HeadsKey = "heads"

// AuditPrefix is the common prefix of the keys of all audit rows.
const AuditPrefix = "audit/"

// ManifestKey returns the key of the manifest row of a configuration version.
func ManifestKey(version uint64) string {
	return fmt.Sprintf("manifest/%020d", version)
}

// MembersKey returns the key of the manifest row of the member list with the given SHA-256 digest.
func MembersKey(digest [32]byte) string {
	return fmt.Sprintf("members/%x", digest)
}

// ChunkKey returns the key of the row of the chunk with the given SHA-256 digest. Configuration versions and member lists
// share chunks.
func ChunkKey(digest [32]byte) string {
	return fmt.Sprintf("chunk/%x", digest)
}

// ConfigKey returns the key of the row with the canonical TOML of a configuration version that was created before
// manifests were introduced.
func ConfigKey(version uint64) string {
	return fmt.Sprintf("config/%020d", version)
}

// AuditKey returns the key of the audit row of a configuration version. The keys sort by version.
func AuditKey(version uint64) string {
	return fmt.Sprintf("%s%020d", AuditPrefix, version)
}

// OperationKey returns the key of the row that stores the configuration version created by an operation.
func OperationKey(id string) string {
	return "operation/" + id
}
