/** A caller of the gateway, for the demo and the load tool. */
package org.ibissaddle.cli.call;
