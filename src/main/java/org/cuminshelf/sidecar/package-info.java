/**
 * The sidecar process of an upstream, through which all calls and orders reach it. It keeps the journal of attempts, by
 * which an entry can guarantee that a request did not run, protects the upstream from outdated orders, and announces it
 * to the control processes.
 */
package org.cuminshelf.sidecar;
