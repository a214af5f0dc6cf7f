/**
 * What stands beside a sidecar, behind one narrow interface: a model engine or a plain service. A deployment whose
 * engines speak another protocol adds one class here.
 */
package org.cuminshelf.upstream;
