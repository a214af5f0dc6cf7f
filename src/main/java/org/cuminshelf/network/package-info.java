/**
 * Messages between the processes of the system: length-prefixed protobuf over TCP by Netty, with heartbeats on every
 * connection and TLS on both ends unless it is switched off.
 */
package org.cuminshelf.network;
