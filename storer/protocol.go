package storer

// Paths of the table service. Every call is a POST request with a JSON body.
const (
	PathRead   = "/v1/read"
	PathList   = "/v1/list"
	PathCommit = "/v1/commit"
)

// ReadRequest is the request body of a read.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest is the request body of a list.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// Rows is the response to a read or a list.
type Rows struct {
	Rows []Row `json:"rows"`
}
