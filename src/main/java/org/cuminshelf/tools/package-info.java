/** The command line: a command to run each kind of process, and the commands for operators. */
package org.cuminshelf.tools;
