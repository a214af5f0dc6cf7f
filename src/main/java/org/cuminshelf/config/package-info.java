/**
 * Fleet configuration: a folder of YAML files that operators edit, and the typed configuration into which they are
 * merged. The format is described in docs/CONFIGURATION.md.
 */
package org.cuminshelf.config;
