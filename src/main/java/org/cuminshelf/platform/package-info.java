/**
 * The users' platform: its settings file, its headers, documents and calls, each decoded once into the product's own
 * types. It translates and decides nothing; no other package knows the platform's names.
 */
package org.cuminshelf.platform;
