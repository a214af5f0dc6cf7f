/**
 * The control process: it replicates the accepted configuration, the claims of idempotency keys, orders to engines,
 * quarantined requests and settled usage, keeps the directory of upstreams, and publishes changes to subscribers.
 */
package org.cuminshelf.control;
