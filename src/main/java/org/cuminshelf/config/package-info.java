/**
 * The operators' folder of small files and the typed configuration it merges into. The format is described in
 * docs/CONFIGURATION.md.
 */
package org.cuminshelf.config;
