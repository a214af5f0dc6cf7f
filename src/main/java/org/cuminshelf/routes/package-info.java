/**
 * The routes of a deployment whose operators send them whole, under versions of their own: which host and path goes to
 * which service, what may be repeated, how long it may take, and in whose name.
 */
package org.cuminshelf.routes;
