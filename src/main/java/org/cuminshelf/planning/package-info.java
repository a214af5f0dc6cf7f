/** How the engines of a model are split between prefill and decode as the mix of prompt and output moves. */
package org.cuminshelf.planning;
