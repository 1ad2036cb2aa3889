"""The OpenAPI document of the control paths, generated from the routes."""

from typing import Final

from blacksheep import Application
from blacksheep.server.openapi.v3 import OpenAPIHandler
from openapidocs.v3 import Info

_PATH: Final = '/_carobmoor/openapi'
_VERSION: Final = '1'


def serve_openapi(app: Application) -> None:
    """Serve the document at `/_carobmoor/openapi.json`.

    It is generated from the routes of the application, so it can't name a
    path that isn't served or omit one that is. No HTML page is served with
    it, because the usual ones load scripts from other sites.
    """
    openapi_handler = OpenAPIHandler(
        info=Info(title='carobmoor control', version=_VERSION),
        ui_path=f'{_PATH}/page',
        json_spec_path=f'{_PATH}.json',
        yaml_spec_path=f'{_PATH}.yaml',
    )
    openapi_handler.ui_providers.clear()
    openapi_handler.bind_app(app)
