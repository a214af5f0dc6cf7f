/** The command line: one command for each role of a process, and those of operators. */
package org.cuminshelf.tools;
