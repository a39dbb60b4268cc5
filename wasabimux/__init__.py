"""Router for model serving with separate prefill and decode pools."""
