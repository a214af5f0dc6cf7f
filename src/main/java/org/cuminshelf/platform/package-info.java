/**
 * Adapter to the operators' platform: its settings file, HTTP headers, JSON documents and control requests, each
 * decoded once into the project's own types. It makes no decisions, and no other package contains the platform's names.
 */
package org.cuminshelf.platform;
