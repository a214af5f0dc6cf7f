/**
 * Stand-ins for what the system serves: a model engine and a plain service. They take the place of real ones in a first
 * try, in tests and in measurements; the protocol they speak is described in docs/UPSTREAMS.md.
 */
package org.cuminshelf.standin;
