package server

import (
	"context"
	"errors"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/twitchtv/twirp"

	"celeryhead.dev/celeryhead/certifier"
	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/messenger"
)

func (s *Server) peersHandler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	t := messenger.NewPeerServer(&peerService{server: s})
	r.Path(t.PathPrefix() + "Claim").Handler(http.MaxBytesHandler(identified(t), maxClaimMessage))
	r.PathPrefix(t.PathPrefix()).Handler(identified(t))
	r.Path(forwardPath).HandlerFunc(s.fromPeer(s.own))
	r.Path(enterPath).HandlerFunc(s.fromPeer(s.enterPassed))
	return s.trusted(r)
}

// maxClaimMessage bounds a message to a claim owner in bytes: 1 MiB of rows, and their digests and versions.
const maxClaimMessage = 2 << 20

type identityKey struct{}

// identified passes the name in the client's certificate on to the services.
func identified(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, n, err := certifier.Identity(r.TLS)
		if err != nil {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, n)))
	})
}

func identity(ctx context.Context) string {
	n, _ := ctx.Value(identityKey{}).(string)
	return n
}

// peerService serves other instances.
type peerService struct {
	server *Server
}

// Heartbeat answers a heartbeat; an instance can send one only in its own name.
func (p *peerService) Heartbeat(ctx context.Context, b *messenger.Beat) (*messenger.Beat, error) {
	if b.GetFrom().GetName() != identity(ctx) {
		return nil, twirp.PermissionDenied.Error("the certificate belongs to another instance")
	}
	a, err := p.server.control.Heartbeat(ctx, b)
	if err != nil {
		return nil, twirp.FailedPrecondition.Error(err.Error())
	}
	return a, nil
}

// FetchHeads returns the heads row.
func (p *peerService) FetchHeads(context.Context, *messenger.FetchHeadsRequest) (*messenger.HeadsRow, error) {
	return p.server.control.FetchHeads(), nil
}

// FetchConfiguration returns the text of a configuration.
func (p *peerService) FetchConfiguration(_ context.Context, r *messenger.FetchConfigurationRequest) (*messenger.ConfigurationText, error) {
	t := p.server.control.FetchConfiguration(r.Version)
	if t == nil {
		return nil, twirp.NotFoundError("this instance applies another version")
	}
	return t, nil
}

// FetchManifest returns the manifest of a configuration.
func (p *peerService) FetchManifest(_ context.Context, r *messenger.FetchManifestRequest) (*messenger.ManifestRow, error) {
	m, err := p.server.control.FetchManifest(r.Version)
	if err == nil && m == nil {
		return nil, twirp.NotFoundError("this instance applies another version")
	}
	return m, err
}

// FetchMembers returns the manifest of a member list.
func (p *peerService) FetchMembers(_ context.Context, r *messenger.FetchMembersRequest) (*messenger.MembersRow, error) {
	m, err := p.server.control.FetchMembers(r)
	if err == nil && m == nil {
		return nil, twirp.NotFoundError("this instance applies no such list")
	}
	return m, err
}

// FetchChunks returns chunks of the configuration and of the member lists that this instance applies.
func (p *peerService) FetchChunks(_ context.Context, r *messenger.FetchChunksRequest) (*messenger.Chunks, error) {
	return p.server.control.FetchChunks(r)
}

// Claim adds the claims of another instance to the transactions of this one.
func (p *peerService) Claim(ctx context.Context, r *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	if identity(ctx) == "" {
		return nil, twirp.PermissionDenied.Error("the certificate names no instance")
	}
	a, err := p.server.claims.Accept(ctx, r)
	if errors.Is(err, claimer.ErrMessage) {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	return a, err
}
