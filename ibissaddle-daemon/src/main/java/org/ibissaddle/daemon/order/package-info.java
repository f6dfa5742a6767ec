/** Sends orders to load or unload models and adapters to the inference engines. */
package org.ibissaddle.daemon.order;
