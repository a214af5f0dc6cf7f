/**
 * The route table of a deployment whose operators send it as one versioned document: the service for each host and
 * path, whether requests may be repeated, their time limits, and the organisations that may send them.
 */
package org.cuminshelf.routes;
