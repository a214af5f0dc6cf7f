/**
 * Stand-ins for upstreams: a model engine and an ordinary HTTP service. They replace real upstreams in evaluation
 * set-ups, tests and benchmarks. Their protocol is described in docs/UPSTREAMS.md.
 */
package org.cuminshelf.standin;
