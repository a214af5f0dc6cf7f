/**
 * The process beside each upstream: the only way calls and orders reach it. It keeps the journal of attempts that
 * lets an entry swear that a request did not run, guards the upstream against old orders, and announces it.
 */
package org.cuminshelf.sidecar;
