/** Client of the gateway, used by the demo and the load tools. */
package org.ibissaddle.cli.call;
