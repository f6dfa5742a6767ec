/** Gives orders to engines. */
package org.ibissaddle.daemon.order;
