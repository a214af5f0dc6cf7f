/**
 * The control process: the accepted configuration, the claims of idempotency keys, orders to engines, and the directory
 * of upstreams.
 */
package org.cuminshelf.control;
