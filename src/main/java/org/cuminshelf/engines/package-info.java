/**
 * What is learnt of the engines of a service from the answers they give: how long prompts take, how long a KV cache
 * takes to move, how far apart the events of streams are. No network, no clock and no settings of any engine: whoever
 * observes hands in what was seen, whoever decides asks for an expectation.
 */
package org.cuminshelf.engines;
