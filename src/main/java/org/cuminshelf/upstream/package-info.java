/**
 * Clients for the upstream of a sidecar, a model engine or a plain service, behind one interface. A deployment whose
 * engines use another protocol adds an implementation here.
 */
package org.cuminshelf.upstream;
