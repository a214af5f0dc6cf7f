/**
 * Sends messages between the processes of the system: length-prefixed protobuf over TCP with Netty, with heartbeats on
 * every connection and mutual TLS unless it is disabled.
 */
package org.cuminshelf.network;
