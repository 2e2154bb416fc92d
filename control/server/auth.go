package server

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/godwithub/godwithub/control/apiv1"
)

// tokenKey is the key of the token among the values of a request's context.
const tokenKey = "godwithub.token"

// requireRole returns a handler that passes on requests whose token has at least the given role.
func (s *Server) requireRole(role Role) iris.Handler {
	return func(ctx iris.Context) {
		token, ok := s.authenticate(ctx)
		if !ok {
			s.metrics.Add("unauthorized", 1)
			s.Log.Warn("request without a valid token", "remote", ctx.Request().RemoteAddr, "method", ctx.Method(), "path", ctx.Path())
			ctx.Header("WWW-Authenticate", `Bearer realm="godwithub"`)
			writeError(ctx, http.StatusUnauthorized, apiv1.CodeUnauthorized, "a valid bearer token is required")
			return
		}
		ctx.Values().Set(tokenKey, token)
		if !s.checkRole(ctx, role) {
			return
		}
		ctx.Next()
	}
}

func (s *Server) authenticate(ctx iris.Context) (Token, bool) {
	scheme, secret, _ := strings.Cut(ctx.GetHeader("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return Token{}, false
	}
	return s.Tokens.Find(strings.TrimSpace(secret), s.Now())
}

// checkRole reports whether the request's token has at least the given role. If not, it answers the
// request with an error.
func (s *Server) checkRole(ctx iris.Context, role Role) bool {
	token := tokenOf(ctx)
	if token.Role >= role {
		return true
	}
	s.metrics.Add("forbidden", 1)
	s.Log.Warn("request refused for its token's role", "token", token.Name, "role", token.Role.String(),
		"required", role.String(), "remote", ctx.Request().RemoteAddr, "method", ctx.Method(), "path", ctx.Path())
	writeError(ctx, http.StatusForbidden, apiv1.CodeForbidden, "token %s has role %s; %s is required", token.Name, token.Role, role)
	return false
}

func tokenOf(ctx iris.Context) Token {
	token, _ := ctx.Values().Get(tokenKey).(Token)
	return token
}
