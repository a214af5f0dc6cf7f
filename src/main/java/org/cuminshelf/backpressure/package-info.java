/**
 * What upstreams in need ask of those that send them requests. Here stands what each start asked for, as its answers
 * say it; there is no network, no clock and no name of the wire here.
 */
package org.cuminshelf.backpressure;
